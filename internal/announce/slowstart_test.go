package announce

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// statement is a call of Registry.OnSlowStart.
type statement struct {
	incarnation int64
	remaining   time.Duration
	received    time.Time
}

func recordStatements(r *Registry) *[]statement {
	var all []statement
	r.OnSlowStart = func(_ string, incarnation int64, remaining time.Duration, received time.Time) {
		all = append(all, statement{incarnation, remaining, received})
	}
	return &all
}

// Guards against statements of outdated heartbeats, statements that a renewed heartbeat does not pass on, and a slow start that
// is counted from the end of the hold instead of the receipt.
func TestSlowStartOfHeartbeats(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Registry{}
	got := recordStatements(r)
	send := func(incarnation int64, sequence uint64, ms int64, at time.Time) {
		h := heartbeat("a", incarnation, sequence, false)
		h.SlowStart = SlowStartOf(&ms)
		r.HandleHeartbeat(h, at)
	}
	r.StartRestore(now)
	send(10, 1, 3000, now)
	r.EndRestore(now.Add(2*time.Second), true)
	send(10, 3, 0, now.Add(3*time.Second))
	send(10, 2, 1000, now.Add(4*time.Second)) // delayed
	send(10, 4, -1, now.Add(4*time.Second))
	send(9, 9, 0, now.Add(4*time.Second)) // of the process before
	want := []statement{{10, 3 * time.Second, now}, {10, 0, now.Add(3 * time.Second)}}
	if len(*got) != len(want) || (*got)[0] != want[0] || (*got)[1] != want[1] {
		t.Errorf("got %v, want %v", *got, want)
	}
}

// Guards against announcements without the optional field that are refused or count as warm.
func TestSlowStartOfAnnouncements(t *testing.T) {
	r := &Registry{}
	got := recordStatements(r)
	for _, test := range []struct {
		field  string
		status int
	}{{"", 204}, {`,"slow_start_ms":0`, 204}, {`,"slow_start_ms":1500`, 204}, {`,"slow_start_ms":-1`, 400}, {`,"slow_start_ms":"x"`, 400}} {
		body := `{"id":"a","service":"katalog","address":"127.0.0.1:80"` + test.field + `}`
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/backend", strings.NewReader(body)))
		if w.Code != test.status {
			t.Errorf("%q: status %d, want %d", test.field, w.Code, test.status)
		}
	}
	if len(*got) != 2 || (*got)[0].remaining != 0 || (*got)[1].remaining != 1500*time.Millisecond {
		t.Errorf("got %v", *got)
	}
}
