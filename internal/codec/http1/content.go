package http1

import "bytes"

// Content adapts a Message to the interface that pipeline stages use.
type Content struct{ *Message }

// Path returns the target without its query.
func (c Content) Path() []byte {
	path, _, _ := bytes.Cut(c.Target, []byte("?"))
	return path
}

// Query returns the target's query, or nil if it has none.
func (c Content) Query() []byte {
	_, query, _ := bytes.Cut(c.Target, []byte("?"))
	return query
}

// Header returns the value of the first field with the given name, or nil if there is none.
func (c Content) Header(name string) []byte {
	value, _ := c.Get(name)
	return value
}

// Body returns the body.
func (c Content) Body() []byte { return c.Message.Body }

// Size returns the approximate number of bytes of memory that the message holds.
func (c Content) Size() int {
	n := 256 + len(c.Target) + cap(c.Message.Body)
	for _, f := range c.Fields {
		n += 48 + len(f.Name) + len(f.Value)
	}
	return n
}
