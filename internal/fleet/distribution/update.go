package distribution

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// Update leads from one configuration to a newer one. It is encoded once for all nodes that need the same update; an empty one
// says that there is nothing new.
type Update []byte

// updateContent is the content of an Update. The names of the fields are on the wire.
type updateContent struct {
	Document []byte           // the whole configuration, compressed; nil where Patches are sent
	Patches  []operator.Order // the orders that lead from the requested configuration to the newer one
}

// NewUpdate encodes a whole configuration as JSON, or else the orders that lead to it.
func NewUpdate(document []byte, patches []operator.Order) (Update, error) {
	content := updateContent{Patches: patches}
	if document != nil {
		content.Document = operator.Compress(document)
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(content); err != nil {
		return nil, fmt.Errorf("distribution: encode update: %w", err)
	}
	return buffer.Bytes(), nil
}

// Read decodes the whole configuration as JSON, or else the orders that lead to it. Both are nil where the update is empty.
func (u Update) Read() (document []byte, patches []operator.Order, err error) {
	if len(u) == 0 {
		return nil, nil, nil
	}
	var content updateContent
	if err := gob.NewDecoder(bytes.NewReader(u)).Decode(&content); err != nil {
		return nil, nil, fmt.Errorf("distribution: decode update: %w", err)
	}
	if content.Document == nil {
		return nil, content.Patches, nil
	}
	document, err = operator.Decompress(content.Document)
	return document, nil, err
}
