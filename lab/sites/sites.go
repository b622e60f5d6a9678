// Package sites holds the site files that are shipped with the lab.
package sites

import (
	"embed"
	"fmt"
	"io/fs"
	"strings"

	"linenwheel.dev/linenwheel/lab/world"
)

//go:embed *.toml
var files embed.FS

// Text gives the text of a shipped site file by its name without ".toml".
func Text(name string) (string, error) {
	text, err := files.ReadFile(name + ".toml")
	if err != nil {
		return "", fmt.Errorf("no site %q is shipped: there are %s", name, strings.Join(Names(), ", "))
	}
	return string(text), nil
}

// Names lists the shipped sites.
func Names() (names []string) {
	list, _ := fs.Glob(files, "*.toml")
	for _, n := range list {
		names = append(names, strings.TrimSuffix(n, ".toml"))
	}
	return names
}

// Load reads a shipped site.
func Load(name string) (*world.Site, error) {
	text, err := Text(name)
	if err != nil {
		return nil, err
	}
	return world.ParseSite(name+".toml", text)
}
