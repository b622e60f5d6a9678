package controlplane

import (
	"encoding/json"
	"errors"
	"io"

	"linenwheel.dev/linenwheel/internal/fleet/settings"
	"linenwheel.dev/linenwheel/internal/fleet/storage"
)

// errNoDataDir says that the settings name no directory.
var errNoDataDir = errors.New("settings: DataDir is empty: this process stores nothing")

// exported is the form in which a configuration is printed.
type exported struct {
	Epoch    uint64
	Seq      uint64          // the one with the highest of a majority of the machines has every acknowledged order
	Document json.RawMessage // to be sent with PUT and If-Match: 0 to a fleet on empty disks
}

// Export writes the newest configuration on this machine's disk as JSON, also from a disk of the format before. No process may use it.
func Export(set *settings.Settings, stdout io.Writer) error {
	if set.DataDir == "" {
		return errNoDataDir
	}
	configuration, err := storage.ReadConfiguration(set.DataDir)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(exported{Epoch: configuration.Epoch, Seq: configuration.Seq, Document: configuration.Document})
}
