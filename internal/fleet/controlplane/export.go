package controlplane

import (
	"encoding/json"
	"errors"
	"io"

	"linenwheel.dev/linenwheel/internal/fleet/settings"
	"linenwheel.dev/linenwheel/internal/fleet/storage"
)

// errNoDataDir means that the settings name no data directory.
var errNoDataDir = errors.New("settings: DataDir is empty, so this process stores no configuration")

// exported is the JSON form of an exported configuration.
type exported struct {
	Epoch    uint64
	Seq      uint64          // the export with the highest Seq from a majority of the machines has every acknowledged order
	Document json.RawMessage // can be sent to a fleet with empty disks, with PUT and If-Match: 0
}

// Export writes the newest configuration on this machine's disk as JSON. It also reads disks in the previous
// format. No process may be using the disk.
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
