package distribution

import (
	"bytes"
	"encoding/gob"
	"fmt"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
)

// Update is the encoded difference from one configuration to a newer one. It is encoded once for all nodes that
// need it. An empty update means that the configuration is unchanged.
type Update []byte

// updateContent is the content of an Update. The field names are part of the wire format.
type updateContent struct {
	Document []byte           // the full configuration, compressed; nil if Patches are sent
	Patches  []operator.Order // the orders between the requested configuration and the newer one
}

// NewUpdate encodes a full configuration document, given as JSON, or, if document is nil, the orders that lead to
// it.
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

// Read returns the full configuration document as JSON or the orders that lead to it. Both are nil if the update
// is empty.
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
