package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// row returns the key's line in the settings reference.
func (k Key) row() string {
	byDefault := k.LoopbackDefaults
	if k.Required {
		byDefault = "required"
	}
	return fmt.Sprintf("| `%s` | %s | %s |", k.Name, byDefault, k.Allowed)
}

// Guards against a settings reference that differs from what the parser accepts.
func TestReadmeListsKeys(t *testing.T) {
	text, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range Keys() {
		if !strings.Contains(string(text), k.row()+"\n") {
			t.Errorf("README.md lacks the line\n%s", k.row())
		}
	}
}
