package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// readmeRow returns the table row that README.md must hold for the key.
func (k Key) readmeRow() string {
	defaultText := k.Default
	if k.Required {
		defaultText = "required"
	}
	return fmt.Sprintf("| `%s` | %s | %s |", k.Name, defaultText, k.Allowed)
}

// Guards against a settings table in README.md that lacks a key, or whose defaults and allowed values differ from those
// that Keys returns.
func TestReadmeListsKeys(t *testing.T) {
	text, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range Keys() {
		if !strings.Contains(string(text), k.readmeRow()+"\n") {
			t.Errorf("README.md lacks the line\n%s", k.readmeRow())
		}
	}
}
