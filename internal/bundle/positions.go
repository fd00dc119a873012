package bundle

import (
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyPositions maps the path of each key in a TOML document, such as "routes[1].service", to its line.
type keyPositions struct {
	lines       map[string]int
	tableCounts map[string]int // tables seen so far, by the path of their array of tables
}

// locateKeys returns the lines of the keys in data. It stops at the first syntax error and returns no error, because
// the decoder reports it.
func locateKeys(data []byte) keyPositions {
	p := keyPositions{lines: map[string]int{}, tableCounts: map[string]int{}}
	parser := unstable.Parser{}
	parser.Reset(data)
	table := ""
	for parser.NextExpression() {
		e := parser.Expression()
		switch e.Kind {
		case unstable.Table:
			table = p.recordKey(&parser, "", e)
		case unstable.ArrayTable:
			table = p.recordKey(&parser, "", e)
			p.tableCounts[table]++
			line := p.lines[table]
			table = fmt.Sprintf("%s[%d]", table, p.tableCounts[table]-1)
			p.lines[table] = line
		case unstable.KeyValue:
			p.recordKeyValue(&parser, table, e)
		}
	}
	return p
}

// recordKey records the line of each part of e's dotted key, which lies below the path prefix, and returns the full path.
func (p keyPositions) recordKey(parser *unstable.Parser, prefix string, e *unstable.Node) string {
	path := prefix
	parts := e.Key()
	for parts.Next() {
		if n := p.tableCounts[path]; n > 0 && path != prefix {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		node := parts.Node()
		path = joinKey(path, string(node.Data))
		p.lines[path] = parser.Shape(node.Raw).Start.Line
	}
	return path
}

func (p keyPositions) recordKeyValue(parser *unstable.Parser, table string, e *unstable.Node) {
	path := p.recordKey(parser, table, e)
	p.recordValue(parser, path, e.Value())
}

// recordValue records the keys of the inline tables in value, which has the given path.
func (p keyPositions) recordValue(parser *unstable.Parser, path string, value *unstable.Node) {
	children := value.Children()
	switch value.Kind {
	case unstable.InlineTable:
		for children.Next() {
			p.recordKeyValue(parser, path, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			p.recordValue(parser, fmt.Sprintf("%s[%d]", path, i), children.Node())
		}
	}
}

// lineOf returns the line of path or of its nearest recorded parent, or 1 if no parent is recorded.
func (p keyPositions) lineOf(path string) int {
	for path != "" {
		if line, found := p.lines[path]; found {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

func joinKey(path, key string) string {
	if path == "" || key == "" {
		return path + key
	}
	return path + "." + key
}
