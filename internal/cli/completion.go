package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCommand struct {
	Shell string `arg:"" optional:"" default:"bash" enum:"bash" help:"Shell; only bash is supported."`
}

const completionHead = `_dandelionspoke() {
  local cur="${COMP_WORDS[COMP_CWORD]}" path="" word words=""
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$path/$word" in
`

const completionMiddle = `    esac
  done
  case "$path" in
`

const completionTail = `  esac
  COMPREPLY=($(compgen -W "$words" -- "$cur"))
  if [[ ${#COMPREPLY[@]} -eq 0 && $cur != -* ]]; then
    COMPREPLY=($(compgen -f -- "$cur"))
  fi
}
complete -o filenames -F _dandelionspoke dandelionspoke
`

// Run prints a bash script that completes the visible commands and their flags.
func (*completionCommand) Run(o output, app *kong.Application) error {
	io.WriteString(o.stdout, completionHead)
	walkCommands(app.Node, "", func(path string, _ *kong.Node) {
		if path != "" {
			fmt.Fprintf(o.stdout, "    %s) path=%s ;;\n", path, path)
		}
	})
	io.WriteString(o.stdout, completionMiddle)
	walkCommands(app.Node, "", func(path string, n *kong.Node) {
		fmt.Fprintf(o.stdout, "  %q) words=%q ;;\n", path, strings.Join(completionWords(n), " "))
	})
	_, err := io.WriteString(o.stdout, completionTail)
	return err
}

// walkCommands calls visit for n and each visible command below it.
func walkCommands(n *kong.Node, path string, visit func(string, *kong.Node)) {
	visit(path, n)
	for _, child := range n.Children {
		if !child.Hidden && child.Type == kong.CommandNode {
			walkCommands(child, path+"/"+child.Name, visit)
		}
	}
}

func completionWords(n *kong.Node) []string {
	var words []string
	for _, child := range n.Children {
		if !child.Hidden && child.Type == kong.CommandNode {
			words = append(words, child.Name)
		}
	}
	for _, flag := range n.Flags {
		if !flag.Hidden {
			words = append(words, "--"+flag.Name)
		}
	}
	return words
}
