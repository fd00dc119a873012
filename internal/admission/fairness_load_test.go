package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// sender is an account with its weight and the part of the simulated capacity that it sends at random times. In addition it
// sends burst requests at one moment every 4 s.
type sender struct {
	account      string
	weight, load float64
	burst        int
}

// served is what the callers of one account got. A caller that is refused sends once more, if the simulation lets it return.
type served struct{ sent, answered, inTime, returned, refusedTwice, mostReturnsAtOnce int }

// simulatedCapacity is the number of requests per second that 6 slots complete at a run time of 60 ms.
const simulatedCapacity = 100.0

// simulateSenders plays requests with an objective of 400 ms and a deadline of 1 s against one queue. With fair unset, the queue
// is not told of the accounts, and refused callers return as before accounts existed.
func simulateSenders(senders []sender, duration time.Duration, fair, returns bool) map[string]*served {
	type call struct {
		sender              *sender
		at                  time.Time
		returning, promised bool
	}
	const run = 60 * time.Millisecond
	rng := rand.New(rand.NewPCG(3, 4))
	q := New(Limits{Slots: 6, LongSlots: 2, QueueShort: 48, QueueLong: 24})
	results, calls, ends, returnsAt := map[string]*served{}, map[Ticket]call{}, map[Ticket]time.Time{}, map[int64]int{}
	var pending []call
	for i := range senders {
		s := &senders[i]
		results[s.account] = &served{}
		for ms := 0.0; ms < float64(duration.Milliseconds()); ms += rng.ExpFloat64() * 1000 / simulatedCapacity / s.load {
			pending = append(pending, call{sender: s, at: start.Add(time.Duration(ms * float64(time.Millisecond)))})
		}
		for at := start.Add(time.Second); at.Before(start.Add(duration)); at = at.Add(4 * time.Second) {
			pending = append(pending, slices.Repeat([]call{{sender: s, at: at}}, s.burst)...)
		}
	}
	byTime := func(a, b call) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(pending, byTime)
	refuse := func(c call, wait time.Duration, now time.Time) {
		r := results[c.sender.account]
		switch {
		case c.returning:
			r.refusedTwice++
			return
		case !returns:
			return
		case wait == 0 || !fair:
			wait = run * time.Duration(q.Load().InFlight+q.Load().QueuedShort) / 6
		}
		c.promised = fair && wait < MaxReturnDelay
		if wait = min(max(wait, 100*time.Millisecond), MaxReturnDelay); fair {
			wait = SpreadReturn(wait, rng.Float64())
		}
		c.at, c.returning = now.Add(wait), true
		r.returned++
		returnsAt[c.at.UnixMilli()/10]++
		r.mostReturnsAtOnce = max(r.mostReturnsAtOnce, returnsAt[c.at.UnixMilli()/10])
		position, _ := slices.BinarySearchFunc(pending, c, byTime)
		pending = slices.Insert(pending, position, c)
	}
	apply := func(decisions []Decision, now time.Time) {
		for _, d := range decisions {
			if d.Admitted {
				ends[d.Ticket] = now.Add(time.Duration(float64(run) * (0.5 + rng.Float64())))
			} else {
				refuse(calls[d.Ticket], d.Wait, now)
			}
		}
	}
	for now := start; now.Before(start.Add(duration + 5*time.Second)); now = now.Add(time.Millisecond) {
		for _, ticket := range slices.Sorted(maps.Keys(ends)) {
			if !ends[ticket].After(now) {
				delete(ends, ticket)
				r := results[calls[ticket].sender.account]
				r.answered++
				if now.Sub(calls[ticket].at) <= 400*time.Millisecond {
					r.inTime++
				}
				apply(q.Release(now, ticket, run), now)
			}
		}
		apply(q.Expire(now), now)
		for len(pending) > 0 && !pending[0].at.After(now) {
			c := pending[0]
			pending = pending[1:]
			r := Request{Route: "browse", Priority: 1, Objective: now.Add(400 * time.Millisecond), Deadline: now.Add(time.Second)}
			if fair {
				r.Account, r.AccountWeight, r.Returning = c.sender.account, c.sender.weight, c.returning && c.promised
			}
			if !c.returning {
				results[c.sender.account].sent++
			}
			ticket, outcome := q.Offer(now, r)
			apply(outcome.Decisions, now)
			calls[ticket] = c
			if outcome.State == Refused {
				refuse(c, outcome.Wait, now)
			} else if outcome.State == Admitted {
				apply([]Decision{{Ticket: ticket, Admitted: true}}, now)
			}
		}
	}
	return results
}

// unequalSenders returns 8 accounts of unequal weight that together send the given part of the capacity.
func unequalSenders(load float64) []sender {
	var senders []sender
	for i, w := range []float64{40, 20, 10, 10, 8, 6, 4, 2} {
		senders = append(senders, sender{account: fmt.Sprint("account-", i), weight: w, load: w / 100 * load})
	}
	return senders
}

// Guards against a burst of one account that costs the others their responses: at 7 times its usual rate, each of the others
// gets at least 0.95 of what it got before.
func TestBurstCostsOnlyItsAccount(t *testing.T) {
	usual := unequalSenders(0.75)
	burst := slices.Clone(usual)
	burst[1].load *= 7
	before := simulateSenders(usual, time.Minute, true, false)
	old, fair := simulateSenders(burst, time.Minute, false, false), simulateSenders(burst, time.Minute, true, false)
	share := func(s *served) float64 { return float64(s.inTime) / float64(s.sent) }
	for _, s := range usual {
		b, o, n := share(before[s.account]), share(old[s.account]), share(fair[s.account])
		t.Logf("%s: in time before %.3f, burst without accounts %.3f, with accounts %.3f", s.account, b, o, n)
		if s.account != burst[1].account && n < 0.95*b {
			t.Errorf("%s gets %.3f of its requests in time, before the burst %.3f", s.account, n, b)
		}
	}
	if got := fair[burst[1].account].answered; float64(got) < 0.2*simulatedCapacity*60 {
		t.Errorf("the account that sends the burst gets only %d responses", got)
	}
}

// Guards against accounts that get more than their share by sending more: at 2 to 6 times their share, each gets it to within a
// tenth.
func TestSharesUnderContention(t *testing.T) {
	senders := unequalSenders(2)
	senders[3].load *= 3
	senders[7].load *= 3
	old, fair := simulateSenders(senders, time.Minute, false, false), simulateSenders(senders, time.Minute, true, false)
	total, oldTotal := 0, 0
	for account := range fair {
		total, oldTotal = total+fair[account].answered, oldTotal+old[account].answered
	}
	for _, s := range senders {
		due, got := s.weight/100*float64(total), float64(fair[s.account].answered)
		t.Logf("%s: due %.0f, without accounts %d, with accounts %.0f", s.account, due, old[s.account].answered, got)
		if got < 0.9*due || got > 1.1*due {
			t.Errorf("%s gets %.0f responses, due %.0f", s.account, got, due)
		}
	}
	if float64(total) < 0.95*float64(oldTotal) {
		t.Errorf("%d responses with accounts, %d without", total, oldTotal)
	}
}

// Guards against small accounts that fare worse than large ones when all of them ask for 1.5 times what there is.
func TestWorstServedTenthOfAccounts(t *testing.T) {
	const accounts = 77
	var senders []sender
	sum := 0.0
	for i := range accounts {
		senders = append(senders, sender{account: fmt.Sprint("account-", i), weight: 300 / float64(i+1)})
		sum += senders[i].weight
	}
	for i := range senders {
		senders[i].load = 1.5 * senders[i].weight / sum
	}
	for _, fair := range []bool{false, true} {
		var shares []float64
		worst, mean := 0.0, 0.0
		for _, s := range simulateSenders(senders, 200*time.Second, fair, false) {
			shares = append(shares, float64(s.answered)/float64(s.sent))
		}
		slices.Sort(shares)
		for i, s := range shares {
			mean += s / accounts
			if i < accounts/10 {
				worst += s / (accounts / 10)
			}
		}
		t.Logf("fair %v: answered share of the worst-served tenth %.3f, mean %.3f", fair, worst, mean)
		if fair && worst < 0.85*mean {
			t.Errorf("the worst-served tenth gets %.3f, the mean is %.3f", worst, mean)
		}
	}
}

// Guards against refused callers that return at the same moment and are refused again.
func TestRefusedCallersReturnWhenThereIsRoom(t *testing.T) {
	for _, load := range []float64{0.8, 0.95} {
		senders := []sender{{account: "a", weight: 100, load: load, burst: 60}}
		old, fair := simulateSenders(senders, 30*time.Second, false, true)["a"], simulateSenders(senders, 30*time.Second, true, true)["a"]
		t.Logf("load %v and bursts, without accounts %+v", load, *old)
		t.Logf("load %v and bursts, with accounts    %+v", load, *fair)
		if fair.mostReturnsAtOnce > old.mostReturnsAtOnce/2 {
			t.Errorf("%d callers return within 10 ms, without accounts %d", fair.mostReturnsAtOnce, old.mostReturnsAtOnce)
		}
		if fair.answered < old.answered || fair.inTime < old.inTime {
			t.Errorf("%d answered, %d in time, without accounts %d and %d", fair.answered, fair.inTime, old.answered, old.inTime)
		}
		// At 0.95, the bursts of 0.15 exceed the capacity, so that some callers are refused twice in any order.
		if load == 0.8 && fair.refusedTwice*20 > fair.returned {
			t.Errorf("%d of %d returning callers are refused again, although there is room", fair.refusedTwice, fair.returned)
		}
	}
}
