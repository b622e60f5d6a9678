package proxy

import (
	"bytes"
	"mime"
	"strconv"

	"linenwheel.dev/linenwheel/internal/fleet/backend"
)

// eventEnds are the byte sequences that terminate a server-sent event.
var eventEnds = [...][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// maxEventEnd is the length of the longest of eventEnds, in bytes.
const maxEventEnd = len("\r\n\r\n")

// completeEvents returns the length of the complete events at the beginning of data, 0 if there is none.
func completeEvents(data []byte) int {
	end := 0
	for _, terminator := range eventEnds {
		if i := bytes.LastIndex(data, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// completeEventsAfter is completeEvents for data of which no event ends in the first searched bytes: an event of any length is
// searched once.
func completeEventsAfter(data []byte, searched int) int {
	from := max(0, searched-maxEventEnd+1)
	complete := completeEvents(data[from:])
	if complete == 0 {
		return 0
	}
	return from + complete
}

// cutEvent splits data after its first event. If no event ends in data, all of it is the event.
func cutEvent(data []byte) (event, rest []byte) {
	end := len(data)
	for _, terminator := range eventEnds {
		if i := bytes.Index(data[:end], terminator); i >= 0 {
			end = i + len(terminator)
		}
	}
	return data[:end], data[end:]
}

// lastBytes returns the end of data by which endsWithinEvent decides, at most maxEventEnd bytes.
func lastBytes(data []byte) []byte { return data[max(0, len(data)-maxEventEnd):] }

// endsWithinEvent reports whether a body whose last bytes are tail ends before its last event does. An empty body
// does not.
func endsWithinEvent(tail []byte) bool {
	return len(bytes.TrimSpace(tail[completeEvents(tail):])) > 0
}

// eventFields is what this package reads of a server-sent event.
type eventFields struct {
	id       string // the id, a number that increases along the stream
	number   int64  // id as a number
	numbered bool   // the event has an id that is a number
	hasData  bool   // the event has data: a client acts on it
}

// parseEvent reads the fields of an event. Only its first id counts.
func parseEvent(event []byte) eventFields {
	var fields eventFields
	idSeen := false
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			fields.hasData = true
		}
		value, isID := bytes.CutPrefix(line, []byte("id:"))
		if !isID || idSeen {
			continue
		}
		idSeen = true
		fields.id = string(bytes.TrimSpace(value))
		number, err := strconv.ParseInt(fields.id, 10, 64)
		fields.number, fields.numbered = number, err == nil
	}
	return fields
}

// statesOtherType reports whether a response states a content type other than that of an event stream.
func statesOtherType(response *backend.Response) bool {
	stated := response.Header.Get("Content-Type")
	if stated == "" {
		return false
	}
	mediaType, _, err := mime.ParseMediaType(stated)
	return err != nil || mediaType != "text/event-stream"
}
