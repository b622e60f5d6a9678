package http1

import "bytes"

// Content is a Message as stages see one.
type Content struct{ *Message }

// Path is the target without its query.
func (c Content) Path() []byte {
	path, _, _ := bytes.Cut(c.Target, []byte("?"))
	return path
}

// Query is the target's query, nil where it has none.
func (c Content) Query() []byte {
	_, query, _ := bytes.Cut(c.Target, []byte("?"))
	return query
}

// Header is the value of the first field of a name, nil where there is none.
func (c Content) Header(name string) []byte {
	value, _ := c.Get(name)
	return value
}

// Body is the body.
func (c Content) Body() []byte { return c.Message.Body }

// Size is how much memory the message holds, roughly.
func (c Content) Size() int {
	n := 256 + len(c.Target) + cap(c.Message.Body)
	for _, f := range c.Fields {
		n += 48 + len(f.Name) + len(f.Value)
	}
	return n
}
