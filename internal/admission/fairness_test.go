package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dandelionspoke/internal/verdict"
)

// demand is what one account asks for.
type demand struct {
	account       string
	weight        float64
	sentPerSecond float64
}

// served is what the callers of one account got.
type served struct{ sent, answered, inTime int }

const (
	simulatedSlots   = 6
	simulatedRunTime = 60 * time.Millisecond
	// simulatedCapacity is the number of requests per second that the simulated endpoint completes.
	simulatedCapacity = simulatedSlots * float64(time.Second) / float64(simulatedRunTime)
)

// simulateAccounts plays requests of several accounts, with objectives of 400 ms and deadlines of 1 s, against one queue. With
// fair unset, the queue is not told of the accounts, as before accounts existed.
func simulateAccounts(demands []demand, duration time.Duration, fair bool) map[string]*served {
	type running struct {
		ticket Ticket
		ends   time.Time
	}
	rng := rand.New(rand.NewPCG(3, 4))
	q := New(Limits{Slots: simulatedSlots, LongSlots: 2, QueueShort: 48, QueueLong: 24})
	results := map[string]*served{}
	next := map[string]time.Time{}
	for _, d := range demands {
		results[d.account] = &served{}
		next[d.account] = start
	}
	var active []running
	senders, offered := map[Ticket]string{}, map[Ticket]time.Time{}
	begin := func(ticket Ticket, now time.Time) {
		run := time.Duration(float64(simulatedRunTime) * (0.5 + rng.Float64()))
		active = append(active, running{ticket, now.Add(run)})
	}
	apply := func(decisions []Decision, now time.Time) {
		for _, decision := range decisions {
			if decision.Admitted {
				begin(decision.Ticket, now)
			}
		}
	}
	for now := start; now.Before(start.Add(duration)); now = now.Add(time.Millisecond) {
		slices.SortFunc(active, func(a, b running) int { return a.ends.Compare(b.ends) })
		for len(active) > 0 && !active[0].ends.After(now) {
			done := active[0]
			active = active[1:]
			s := results[senders[done.ticket]]
			s.answered++
			if now.Sub(offered[done.ticket]) <= 400*time.Millisecond {
				s.inTime++
			}
			apply(q.Release(now, done.ticket, simulatedRunTime), now)
		}
		apply(q.Expire(now), now)
		for _, d := range demands {
			for ; !next[d.account].After(now); next[d.account] = next[d.account].Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / d.sentPerSecond)) {
				r := Request{Route: "browse", Priority: 1, Objective: now.Add(400 * time.Millisecond), Deadline: now.Add(time.Second)}
				if fair {
					r.Account, r.AccountWeight = d.account, d.weight
				}
				results[d.account].sent++
				ticket, outcome := q.Offer(now, r)
				apply(outcome.Decisions, now)
				senders[ticket], offered[ticket] = d.account, now
				if outcome.State == Admitted {
					begin(ticket, now)
				}
			}
		}
	}
	return results
}

// unequalDemands returns 8 accounts of unequal weight that together send the given part of the capacity.
func unequalDemands(load float64) []demand {
	weights := []float64{40, 20, 10, 10, 8, 6, 4, 2}
	var demands []demand
	for i, w := range weights {
		demands = append(demands, demand{fmt.Sprint("account-", i), w, w / 100 * load * simulatedCapacity})
	}
	return demands
}

// Guards against a burst of one account that costs the others their responses: at 7 times its usual rate, each of the others
// gets at least 0.95 of what it got before.
func TestBurstCostsOnlyItsAccount(t *testing.T) {
	const duration = 60 * time.Second
	usual := unequalDemands(0.75)
	before := simulateAccounts(usual, duration, true)
	burst := slices.Clone(usual)
	burst[1].sentPerSecond *= 7
	old, fair := simulateAccounts(burst, duration, false), simulateAccounts(burst, duration, true)
	share := func(s *served) float64 { return float64(s.inTime) / float64(s.sent) }
	for _, d := range usual {
		b, o, n := share(before[d.account]), share(old[d.account]), share(fair[d.account])
		t.Logf("%s: in time before %.3f, burst without accounts %.3f, with accounts %.3f", d.account, b, o, n)
		if d.account != burst[1].account && n < 0.95*b {
			t.Errorf("%s gets %.3f of its requests in time, before the burst %.3f", d.account, n, b)
		}
	}
	if total := fair[burst[1].account].answered; float64(total) < 0.2*simulatedCapacity*duration.Seconds() {
		t.Errorf("the account that sends the burst gets only %d responses", total)
	}
}

// Guards against accounts that get more than their share by sending more: at 2 to 6 times the capacity, each gets its share by
// weight to within a tenth.
func TestSharesUnderContention(t *testing.T) {
	const duration = 60 * time.Second
	demands := unequalDemands(2)
	demands[7].sentPerSecond *= 3
	demands[3].sentPerSecond *= 3
	old, fair := simulateAccounts(demands, duration, false), simulateAccounts(demands, duration, true)
	total, oldTotal := 0, 0
	for account := range fair {
		total += fair[account].answered
		oldTotal += old[account].answered
	}
	if float64(total) < 0.95*float64(oldTotal) {
		t.Errorf("%d responses with accounts, %d without", total, oldTotal)
	}
	for _, d := range demands {
		due := d.weight / 100 * float64(total)
		got := float64(fair[d.account].answered)
		t.Logf("%s: due %.0f, without accounts %d, with accounts %.0f", d.account, due, old[d.account].answered, got)
		if got < 0.9*due || got > 1.1*due {
			t.Errorf("%s gets %.0f responses, due %.0f", d.account, got, due)
		}
	}
}

// Guards against small accounts that fare worse than large ones when all of them ask for more than there is.
func TestWorstServedTenthOfAccounts(t *testing.T) {
	const accounts, load = 77, 1.5
	var demands []demand
	sum := 0.0
	for i := range accounts {
		demands = append(demands, demand{account: fmt.Sprint("account-", i), weight: 300 / float64(i+1)})
		sum += demands[i].weight
	}
	for i := range demands {
		demands[i].sentPerSecond = load * simulatedCapacity * demands[i].weight / sum
	}
	worst := func(fair bool) (worst, mean float64) {
		var shares []float64
		for _, s := range simulateAccounts(demands, 200*time.Second, fair) {
			shares = append(shares, float64(s.answered)/float64(s.sent))
			mean += float64(s.answered) / float64(s.sent) / accounts
		}
		slices.Sort(shares)
		for _, s := range shares[:accounts/10] {
			worst += s / (accounts / 10)
		}
		return worst, mean
	}
	oldWorst, oldMean := worst(false)
	newWorst, newMean := worst(true)
	t.Logf("answered share of the worst-served tenth and mean: without accounts %.3f, %.3f; with accounts %.3f, %.3f", oldWorst, oldMean, newWorst, newMean)
	if newWorst < 0.85*newMean {
		t.Errorf("the worst-served tenth gets %.3f, the mean is %.3f", newWorst, newMean)
	}
}

func ofAccount(id, account string, weight float64, priority int) Request {
	return Request{ID: id, Route: "browse", Account: account, AccountWeight: weight, Priority: priority, Deadline: at(9000)}
}

// Guards against a full list that refuses accounts that hold little, or that drops a request of higher priority.
func TestFullListDropsFromTheAccountThatHoldsMost(t *testing.T) {
	q := New(Limits{Slots: 1, QueueShort: 5})
	offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
	offer(t, q, at(0), ofAccount("high", "burst", 1, 0), Queued, "")
	for _, id := range []string{"burst-1", "burst-2", "burst-3"} {
		offer(t, q, at(0), ofAccount(id, "burst", 1, 1), Queued, "")
	}
	offer(t, q, at(0), ofAccount("heavy", "heavy", 10, 1), Queued, "")
	offer(t, q, at(0), ofAccount("burst-4", "burst", 1, 1), Refused, verdict.QueueFull)
	expectOffer := func(r Request, want ...string) {
		t.Helper()
		_, outcome := q.Offer(at(0), r)
		if outcome.State != Queued {
			t.Fatalf("offer of %s: %+v", r.ID, outcome)
		}
		expectDecisions(t, outcome.Decisions, want...)
	}
	expectOffer(ofAccount("heavy-2", "heavy", 10, 1), "burst-3 queue-full")
	expectOffer(ofAccount("small", "small", 1, 1), "burst-2 queue-full")
	returning := ofAccount("burst-returning", "burst", 1, 1)
	returning.Returning = true
	expectOffer(returning, "burst-1 queue-full")
	offer(t, q, at(0), ofAccount("low", "low", 100, 2), Refused, verdict.QueueFull)
	expectOffer(short("call", 1, 9000), "small queue-full")
}

// Guards against early refusals of an account with few waiting requests because of the burst of another one, and against
// more waiting requests of the burst than can be served in time.
func TestEarlyRefusalFollowsTheFairOrder(t *testing.T) {
	for _, accounts := range []bool{false, true} {
		q := newMeasuredQueue(Limits{Slots: 1, QueueShort: 90}, 100, 100)
		request := func(account string) Request {
			r := Request{Route: "browse", Deadline: at(1000)}
			if accounts {
				r.Account = account
			}
			return r
		}
		queued := 0
		for range 30 {
			if _, outcome := q.Offer(at(0), request("burst")); outcome.State == Queued {
				queued++
			} else if outcome.State == Refused && accounts && outcome.Wait < 100*time.Millisecond {
				t.Fatalf("refusal with a wait of %s, but a slot is free after 100 ms at the earliest", outcome.Wait)
			}
		}
		if queued != 9 {
			t.Errorf("accounts %v: %d requests of the burst wait, want 9", accounts, queued)
		}
		_, outcome := q.Offer(at(0), request("other"))
		if want := map[bool]State{false: Refused, true: Queued}[accounts]; outcome.State != want {
			t.Errorf("accounts %v: the other account's request is %s, want %s", accounts, outcome.State, want)
		}
	}
}

// Guards against callers that are refused again and again while newcomers of the same rank are served, and against returning
// callers that overtake another account or a higher priority.
func TestReturningStartsFirstWithinItsAccount(t *testing.T) {
	q := New(Limits{Slots: 1, QueueShort: 9})
	running := offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
	offer(t, q, at(0), ofAccount("a-new", "a", 1, 1), Queued, "")
	offer(t, q, at(0), ofAccount("b-new", "b", 1, 1), Queued, "")
	for _, account := range []string{"a", "b"} {
		returning := ofAccount(account+"-returning", account, 1, 1)
		returning.Returning = true
		offer(t, q, at(1), returning, Queued, "")
	}
	offer(t, q, at(1), ofAccount("urgent", "c", 1, 0), Queued, "")
	for _, want := range []string{"urgent", "a-returning", "b-returning", "a-new", "b-new"} {
		decisions := q.Release(at(2), running, 0)
		expectDecisions(t, decisions, want+" admitted")
		running = decisions[0].Ticket
	}
}

// Guards against priority inversion: an urgent request waits for a call of its backend server, which competes with requests
// of lower priority. With the priority of its parent the call starts first, and with a priority equal to theirs too, since it
// has no account.
func TestCallsOfUrgentRequestsAreNotInverted(t *testing.T) {
	for _, priority := range []int{0, 2} {
		q := newMeasuredQueue(Limits{Slots: 1, QueueShort: 40}, 10, 100)
		running := offer(t, q, at(0), short("run", 0, 9000), Admitted, "")
		for i := range 20 {
			offer(t, q, at(0), ofAccount("burst", fmt.Sprint("account-", i%3), 50, 2), Queued, "")
		}
		call := Request{ID: "call", Route: "inner", Priority: priority, Objective: at(100), Deadline: at(300)}
		offer(t, q, at(1), call, Queued, "")
		expectDecisions(t, q.Release(at(10), running, 10*time.Millisecond), "call admitted")
	}
}

// Guards against memory that grows with the number of accounts seen.
func TestFlowsAreBounded(t *testing.T) {
	q := New(Limits{Slots: 1, QueueShort: 9})
	for i := range 10 * maxFlows {
		ticket := offer(t, q, at(i), ofAccount("r", fmt.Sprint("account-", i), 1, 1), Admitted, "")
		q.Release(at(i), ticket, time.Millisecond)
	}
	if n := len(q.short.flows); n > maxFlows {
		t.Errorf("%d flows are kept, limit %d", n, maxFlows)
	}
}

// BenchmarkOfferReleaseOfAccounts is BenchmarkOfferRelease with the requests of 16 accounts.
func BenchmarkOfferReleaseOfAccounts(b *testing.B) {
	q := newMeasuredQueue(Limits{Slots: 12, LongSlots: 4, QueueShort: 96, QueueLong: 48}, 5, 200)
	farDeadline := start.Add(time.Hour)
	accounts := make([]string, 16)
	for i := range accounts {
		accounts[i] = fmt.Sprint("account-", i)
	}
	var running []Ticket
	for i := range 60 {
		ticket, outcome := q.Offer(start, Request{Route: "browse", Priority: i % 4, Deadline: farDeadline, Account: accounts[i%16], AccountWeight: float64(i%16 + 1)})
		if outcome.State == Admitted {
			running = append(running, ticket)
		}
	}
	next, i := 0, 0
	for b.Loop() {
		i++
		q.Offer(start, Request{Route: "browse", Priority: 3, Deadline: farDeadline, Account: accounts[i%16], AccountWeight: float64(i%16 + 1)})
		decisions := q.Release(start, running[next], 5*time.Millisecond)
		running[next] = decisions[0].Ticket
		next = (next + 1) % len(running)
	}
}
