package distribution

import (
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/wiretest"
)

func TestMessagesOfEarlierVersionAreDecoded(t *testing.T) {
	for name, message := range map[string]any{"poll-request": &PollRequest{}, "poll-reply": &PollReply{},
		"announcement": &Announcement{}, "relay-request": &ForwardRequest{}, "update-content": &updateContent{}} {
		wiretest.Fill(message)
		wiretest.Gob(t, name+".gob", message)
	}
}

func TestUpdateOfEarlierVersionIsDecoded(t *testing.T) {
	orders := []operator.Order{{Method: "PATCH", Base: 7, Body: []byte(`{"Revision":8}`)}}
	for name, content := range map[string]updateContent{
		"update-document": {Document: []byte(`{"Revision":7}`)},
		"update-patches":  {Patches: orders},
	} {
		fresh, err := NewUpdate(content.Document, content.Patches)
		require.NoError(t, err)
		golden := wiretest.Golden(t, name, fresh)
		document, patches, err := Update(golden).Read()
		require.NoError(t, err)
		require.Equal(t, content, updateContent{Document: document, Patches: patches})
		require.Equal(t, wiretest.Describe(t, golden), wiretest.Describe(t, fresh))
	}
}

func TestMethodNamesAreStable(t *testing.T) {
	require.Equal(t, "Distribution.Poll", MethodPoll)
	require.Equal(t, "Distribution.Announce", MethodAnnounce)
	require.Equal(t, "Distribution.Relay", MethodForward)
}
