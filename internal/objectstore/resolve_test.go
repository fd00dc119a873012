package objectstore

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestResolveOutcome guards against reporting a write of unknown outcome as failed although it took effect and was
// overwritten, or although its outcome can no longer be determined.
func TestResolveOutcome(t *testing.T) {
	base := Sealed{Version: 5, Writers: []string{"old", "base"}}
	chain := func(first string, others int) []string {
		writers := []string{"old", "base", first}
		for i := range others {
			writers = append(writers, fmt.Sprint("other-", i))
		}
		return writers[max(0, len(writers)-maxWriters):]
	}
	cases := map[string]struct {
		base    Sealed
		version int64
		writers []string
		want    error
	}{
		"unchanged":                     {base, 5, base.Writers, errUnchanged},
		"took effect":                   {base, 6, chain("mine", 0), nil},
		"took effect, then overwritten": {base, 9, chain("mine", 20), nil},
		"another write won":             {base, 6, chain("other", 0), ErrConflict},
		"another write won long ago":    {base, 9, chain("other", 20), ErrConflict},
		"too many writes followed":      {base, 60, chain("mine", 50), ErrUnknownOutcome},
		"created by another":            {Sealed{}, 1, []string{"other"}, ErrConflict},
		"created too many writes ago":   {Sealed{}, 60, chain("mine", 50), ErrUnknownOutcome},
		"deleted":                       {base, 0, nil, ErrUnknownOutcome},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := resolveOutcome("k", c.base, Sealed{Version: c.version, Writers: c.writers}, "mine")
			if !errors.Is(err, c.want) || (err == nil) != (c.want == nil) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
		})
	}
}

// TestBackoff guards against delays that do not grow, overflow or exceed their bound.
func TestBackoff(t *testing.T) {
	highest := func() float64 { return 1 }
	for attempt := range 100 {
		got := Backoff(attempt, highest)
		if next := Backoff(attempt+1, highest); got < backoffBase || got > backoffCap || next < got {
			t.Fatalf("attempt %d: %v, then %v", attempt, got, next)
		}
	}
	if got := Backoff(3, func() float64 { return 0 }); got != 0 {
		t.Fatalf("delay %v, want 0 if random returns 0", got)
	}
}
