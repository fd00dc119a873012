package bundle

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// positions maps the path of each key in a TOML document, such as "routes[1].service", to its line.
type positions struct {
	lines  map[string]int
	arrays map[string]int // number of tables so far in each array of tables
}

// locate indexes data. It stops without an error at the first syntax error, which the decoder reports.
func locate(data []byte) positions {
	p := positions{lines: map[string]int{}, arrays: map[string]int{}}
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		e := parser.Expression()
		switch e.Kind {
		case unstable.Table:
			table = p.enter(&parser, "", e)
		case unstable.ArrayTable:
			table = p.enter(&parser, "", e)
			p.arrays[table]++
			line := p.lines[table]
			table = fmt.Sprintf("%s[%d]", table, p.arrays[table]-1)
			p.lines[table] = line
		case unstable.KeyValue:
			p.keyValue(&parser, table, e)
		}
	}
	return p
}

// enter records the line of each part of e's key below prefix and returns the whole path.
func (p positions) enter(parser *unstable.Parser, prefix string, e *unstable.Node) string {
	path := prefix
	parts := e.Key()
	for parts.Next() {
		if n := p.arrays[path]; n > 0 && path != prefix {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		node := parts.Node()
		path = join(path, string(node.Data))
		p.lines[path] = parser.Shape(node.Raw).Start.Line
	}
	return path
}

func (p positions) keyValue(parser *unstable.Parser, table string, e *unstable.Node) {
	path := p.enter(parser, table, e)
	p.value(parser, path, e.Value())
}

func (p positions) value(parser *unstable.Parser, path string, value *unstable.Node) {
	children := value.Children()
	switch value.Kind {
	case unstable.InlineTable:
		for children.Next() {
			p.keyValue(parser, path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			p.value(parser, fmt.Sprintf("%s[%d]", path, i), children.Node())
		}
	}
}

// line returns the line of path or of the nearest enclosing key, and 1 when there is none.
func (p positions) line(path string) int {
	for path != "" {
		if line, found := p.lines[path]; found {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

func join(path, key string) string {
	if path == "" || key == "" {
		return path + key
	}
	return path + "." + key
}
