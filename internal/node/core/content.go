package core

// Content is what a stage may read of the payload of a call or of a served answer, whatever its protocol. The payloads of the
// node's own servers and backends implement it. What its methods return must not be changed.
type Content interface {
	Path() []byte              // without the query; the method where the protocol has no paths
	Query() []byte             // without the question mark; nil = none
	Header(name string) []byte // the first header of that name; nil = none
	Body() []byte
	Size() int // bytes of memory in use, roughly
}

// StreamedPayload is implemented by the payload of a served answer whose body may still be arriving.
type StreamedPayload interface {
	Flows() bool // the body is still arriving
	Drop()       // discards the rest of it
}
