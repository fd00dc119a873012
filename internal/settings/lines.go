package settings

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLines maps the dotted path of each table and key in a valid TOML document to the line of its first occurrence.
func keyLines(data []byte) map[string]int {
	lines := map[string]int{}
	var p unstable.Parser
	p.Reset(data)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		path, line := dottedKey(&p, e)
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table = path
			recordLine(lines, path, line)
		case unstable.KeyValue:
			recordKeyValue(&p, lines, table, e)
		}
	}
	return lines
}

func recordKeyValue(p *unstable.Parser, lines map[string]int, table string, e *unstable.Node) {
	path, line := dottedKey(p, e)
	if table != "" {
		path = table + "." + path
	}
	recordLine(lines, path, line)
	if e.Value().Kind != unstable.InlineTable {
		return
	}
	for it := e.Value().Children(); it.Next(); {
		recordKeyValue(p, lines, path, it.Node())
	}
}

func recordLine(lines map[string]int, path string, line int) {
	if _, seen := lines[path]; !seen {
		lines[path] = line
	}
}

// dottedKey returns the dotted path of a table or key expression and its line, or an empty path for other expressions.
func dottedKey(p *unstable.Parser, e *unstable.Node) (path string, line int) {
	if e.Kind != unstable.KeyValue && e.Kind != unstable.Table && e.Kind != unstable.ArrayTable {
		return "", 0
	}
	var parts []string
	for it := e.Key(); it.Next(); {
		if line == 0 {
			line = p.Shape(it.Node().Raw).Start.Line
		}
		parts = append(parts, string(it.Node().Data))
	}
	return strings.Join(parts, "."), line
}
