package admission

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOfferRelease measures one offer and one release while all slots are occupied and requests are waiting, without
// accounts and with those of 16 accounts.
func BenchmarkOfferRelease(b *testing.B) {
	for _, accounts := range []int{0, 16} {
		b.Run(fmt.Sprint(accounts, "-accounts"), func(b *testing.B) {
			q := newMeasuredQueue(Limits{Slots: 12, LongSlots: 4, QueueShort: 96, QueueLong: 48}, 5, 200)
			request := Request{Route: "browse", Deadline: start.Add(time.Hour)}
			names := make([]string, accounts)
			for i := range names {
				names[i] = fmt.Sprint("account-", i)
			}
			newRequest := func(i, priority int) Request {
				r := request
				if r.Priority = priority; accounts > 0 {
					r.Account, r.AccountWeight = names[i%accounts], float64(i%accounts+1)
				}
				return r
			}
			var running []Ticket
			for i := range 60 {
				ticket, outcome := q.Offer(start, newRequest(i, i%4))
				if outcome.State == Admitted {
					running = append(running, ticket)
				}
			}
			next, i := 0, 0
			for b.Loop() {
				i++
				q.Offer(start, newRequest(i, 3))
				decisions := q.Release(start, running[next], 5*time.Millisecond)
				running[next] = decisions[0].Ticket
				next = (next + 1) % len(running)
			}
		})
	}
}
