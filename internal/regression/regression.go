// Package regression summarizes the bench's journal entries of full scores and compares them with a baseline.
package regression

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// MaxFall is the largest fall of the mean worth that is not reported. A smaller one is within the noise of a score.
const MaxFall = 0.03

// Summary is the result of one score of one site.
type Summary struct {
	Site  string
	Score float64
	// Gate reports whether all days passed.
	Gate bool
	// MeanWorth is the mean worth of the standard days with trouble.
	MeanWorth float64
	// Broken lists the broken rules with their days, Faults the days on which a program failed.
	Broken, Faults []string
}

// entry holds the fields of a journal entry that are used.
type entry struct {
	Command string  `json:"cmd"`
	Site    string  `json:"site"`
	OK      bool    `json:"ok"`
	Score   float64 `json:"score"`
	Days    []struct {
		Name  string                     `json:"name"`
		Slot  string                     `json:"slot"`
		Worth float64                    `json:"G"`
		Rules map[string]json.RawMessage `json:"rules"` // broken rules
		Fault json.RawMessage            `json:"fault"`
		Gate  bool                       `json:"gate"`
	} `json:"days"`
}

// Days with this slot have no trouble, and days whose name has this prefix are drawn for one score only.
const (
	quietSlot   = "quiet"
	freshPrefix = "fresh"
)

// Parse returns the summary of a journal entry. It returns an error for an entry that is no complete score.
func Parse(data []byte) (Summary, error) {
	var e entry
	if err := json.Unmarshal(data, &e); err != nil {
		return Summary{}, errors.Wrap(err, "regression: decode journal entry")
	}
	if e.Command != "score" || !e.OK || len(e.Days) == 0 {
		return Summary{}, errors.Newf("regression: entry of %q with %d days is no complete score", e.Command, len(e.Days))
	}
	s := Summary{Site: e.Site, Score: e.Score, Gate: true}
	troubled := 0
	for _, d := range e.Days {
		s.Gate = s.Gate && d.Gate
		for _, rule := range slices.Sorted(maps.Keys(d.Rules)) {
			s.Broken = append(s.Broken, d.Name+":"+rule)
		}
		if len(d.Fault) > 0 && string(d.Fault) != "null" {
			s.Faults = append(s.Faults, d.Name)
		}
		if d.Slot != quietSlot && !strings.HasPrefix(d.Name, freshPrefix) {
			s.MeanWorth += d.Worth
			troubled++
		}
	}
	if troubled > 0 {
		s.MeanWorth /= float64(troubled)
	}
	return s, nil
}

// Baseline holds the mean worth of earlier scores by site.
type Baseline map[string]float64

// ReadBaseline reads lines of the form "site mean_worth". It skips empty lines and lines that start with #.
func ReadBaseline(r io.Reader) (Baseline, error) {
	b := Baseline{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		var site string
		var worth float64
		if _, err := fmt.Sscanf(line, "%s %g", &site, &worth); err != nil {
			return nil, errors.Wrapf(err, "regression: baseline line %q", line)
		}
		b[site] = worth
	}
	return b, lines.Err()
}

// Compare returns the result of s as one line, and whether it is acceptable: no broken rule or fault, the gate passed, and
// a mean worth at most MaxFall below the baseline. A site without a baseline is compared with none.
func (b Baseline) Compare(s Summary) (line string, ok bool) {
	gate := "passed"
	if !s.Gate {
		gate = "failed"
	}
	line = fmt.Sprintf("site=%s score=%.3f gate=%s mean_worth=%.3f broken=%s faults=%s",
		s.Site, s.Score, gate, s.MeanWorth, orNone(s.Broken), orNone(s.Faults))
	ok = s.Gate && len(s.Broken) == 0 && len(s.Faults) == 0
	if before, known := b[s.Site]; known {
		line += fmt.Sprintf(" baseline=%.3f change=%+.3f", before, s.MeanWorth-before)
		ok = ok && s.MeanWorth >= before-MaxFall
	}
	return line, ok
}

func orNone(values []string) string {
	if len(values) == 0 {
		return "none"
	}
	return strings.Join(values, ",")
}
