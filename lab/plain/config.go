// Package plain is the lab's yardstick: a proxy node as a user would write it in an afternoon on net/http. It follows the list
// and sends each request to the rater that holds least of its own requests; where the connection fails it tries the next. On a
// calm day that is as good as anything; a day that cannot tell it from a careful node shows nothing.
//
// Its parts (the platform's configuration, the list) also serve the nodes of lab/wrong.
package plain

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"
)

// Config is what such a node reads of what the platform tells.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Classes   map[string]Class
}

// Class is a class of requests.
type Class struct {
	Effect   string // "read_like", "idempotency_key" or "non_idempotent"
	Deadline time.Duration
}

// Load reads the platform's variables and its file.
func Load(getenv func(string) string) (*Config, error) {
	var file struct {
		Name, Listen, Discovery string
		Settings                struct {
			Classes []struct {
				Name      string
				Effect    string
				HardLimit float64 `json:"hard_limit_s"`
			}
		}
	}
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Classes: map[string]Class{}}
	for _, k := range file.Settings.Classes {
		c.Classes[k.Name] = Class{Effect: k.Effect, Deadline: time.Duration(k.HardLimit * float64(time.Second))}
	}
	return c, nil
}
