package core

// Content gives a stage read access to the payload of a call or of a served answer, independent of the protocol. The
// payloads of the node's own servers and backends implement it. The returned slices must not be modified.
type Content interface {
	Path() []byte              // without the query; the method name where the protocol has no paths
	Query() []byte             // without the question mark; nil = none
	Header(name string) []byte // the first header of that name; nil = none
	Body() []byte
	Size() int // approximate memory use in bytes
}

// StreamedPayload is implemented by the payload of a served answer whose body may still be arriving.
type StreamedPayload interface {
	Flows() bool // reports whether the body is still arriving
	Drop()       // discards the rest of the body
}
