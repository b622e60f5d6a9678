package core

// Content is what a stage may read of a call's payload or of a served answer's, whatever its protocol. Payloads of the
// node's own fronts and carriers have it. What it returns must not be changed.
type Content interface {
	Path() []byte              // without the query; the method where the protocol has no paths
	Query() []byte             // without its question mark; nil = none
	Header(name string) []byte // the first of that name; nil = none
	Body() []byte
	Size() int // bytes of memory that it holds, roughly
}

// Flowing is what a served answer's payload may be besides: one whose body is still on its way.
type Flowing interface {
	Flows() bool
	Drop() // nobody wants the rest
}
