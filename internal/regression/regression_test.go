package regression

import (
	"strings"
	"testing"
)

const scoreEntry = `{"cmd":"score","site":"katalog","ok":true,"score":0.9,"days":[
{"G":0.8,"name":"quiet-1","slot":"quiet","rules":{},"fault":null,"gate":true},
{"G":0.5,"name":"trouble-1","slot":"trouble","rules":{},"fault":null,"gate":true},
{"G":0.6,"name":"scale-1","slot":"scale","rules":{},"fault":null,"gate":true},
{"G":0.1,"name":"fresh-1","slot":"trouble","rules":{},"fault":null,"gate":true}]}`

// Guards against a regression that passes: a broken rule, a fault, a failed gate, or a fall of the mean worth, also of a
// site whose quiet and fresh days are good.
func TestCompare(t *testing.T) {
	tests := []struct {
		name, from, to, baseline string
		wantOK                   bool
		wantLine                 string
	}{
		{"as before", "", "", "katalog 0.55", true, "mean_worth=0.550 broken=none faults=none baseline=0.550 change=+0.000"},
		{"no baseline", "", "", "other 0.9", true, "mean_worth=0.550 broken=none"},
		{"small fall", "", "", "katalog 0.57", true, "change=-0.020"},
		{"fall", "", "", "# comment\n\nkatalog 0.59\n", false, "change=-0.040"},
		{"broken rule", `"scale","rules":{}`, `"scale","rules":{"TWICE":1}`, "katalog 0.55", false, "broken=scale-1:TWICE"},
		{"broken rule on a fresh day", `"G":0.1,"name":"fresh-1","slot":"trouble","rules":{}`, `"G":0.1,"name":"fresh-1","slot":"trouble","rules":{"LOST":4}`, "katalog 0.55", false, "broken=fresh-1:LOST"},
		{"failed gate", `"rules":{},"fault":null,"gate":true}]`, `"rules":{},"fault":null,"gate":false}]`, "katalog 0.55", false, "gate=failed"},
		{"fault", `"trouble-1","slot":"trouble","rules":{},"fault":null`, `"trouble-1","slot":"trouble","rules":{},"fault":"took too long"`, "katalog 0.55", false, "faults=trouble-1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := scoreEntry
			if test.from != "" {
				if !strings.Contains(text, test.from) {
					t.Fatalf("the entry lacks %s", test.from)
				}
				text = strings.Replace(text, test.from, test.to, 1)
			}
			s, err := Parse([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			b, err := ReadBaseline(strings.NewReader(test.baseline))
			if err != nil {
				t.Fatal(err)
			}
			if line, ok := b.Compare(s); ok != test.wantOK || !strings.Contains(line, test.wantLine) {
				t.Errorf("ok %t, want %t; line %q, want it to contain %q", ok, test.wantOK, line, test.wantLine)
			}
		})
	}
}

// Guards against a run that was ended early, or another kind of run, that counts as a passed score.
func TestParseRefusesIncompleteScores(t *testing.T) {
	for _, text := range []string{
		`{`, `{"cmd":"hunt","ok":true,"days":[{}]}`, `{"cmd":"score","ok":false,"days":[{}]}`, `{"cmd":"score","ok":true,"days":[]}`,
	} {
		if s, err := Parse([]byte(text)); err == nil {
			t.Errorf("%s: %+v", text, s)
		}
	}
	if _, err := ReadBaseline(strings.NewReader("katalog much")); err == nil {
		t.Error("a baseline without a number is accepted")
	}
}
