package replica

import (
	"crypto/sha256"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/operator"
	"linenwheel.dev/linenwheel/internal/fleet/wiretest"
)

// filled returns a message in which no field is zero.
func filled[M any]() Message {
	var message M
	wiretest.Fill(&message)
	return message
}

func TestMessagesOfEarlierVersionAreDecoded(t *testing.T) {
	RegisterMessages()
	messages := map[string]Message{"Heartbeat": filled[Heartbeat](), "HeartbeatReply": filled[HeartbeatReply](),
		"Prepare": filled[Prepare](), "Promise": filled[Promise](), "Reject": filled[Reject](), "Install": filled[Install](),
		"Installed": filled[Installed](), "Accept": filled[Accept](), "AcceptReply": filled[AcceptReply](),
		"Decided": filled[Decided](), "Append": filled[Append](), "Committed": filled[Committed](), "Pull": filled[FetchRequest](),
		"Orders": filled[FetchReply](), "Piece": filled[SnapshotChunk]()}
	for name, message := range messages {
		envelope := Envelope{Body: message}
		wiretest.Fill(&envelope)
		require.Equal(t, message, envelope.Body)
		require.False(t, reflect.ValueOf(message).IsZero(), name)
		wiretest.Gob(t, "message-"+name+".gob", &envelope)
		wiretest.Types(t, "message-"+name+".types.json", message)
	}
}

func TestSnapshotChunksOfEarlierVersionAreDecoded(t *testing.T) {
	snapshot := operator.Snapshot{Document: []byte(`{"Revision":7,"Backends":[{"Name":"llm"}]}`),
		Digests: []string{"digest of one 16", "digest of two 16"}, Made: []int64{6, 7}, Horizon: 5, History: "a history of 16 b"}
	state, err := operator.FromSnapshot(snapshot)
	require.NoError(t, err)
	snapshot.Document = state.Document.JSON()
	stored := Stored{Self: Member{Address: "10.0.0.1:7680", Incarnation: 42}, Snapshot: &Snapshot{Seq: 7, State: snapshot}}
	m, err := New(DefaultConfig(), stored, time.Second)
	require.NoError(t, err)
	fresh := m.currentSnapshot().encoded
	golden := wiretest.Golden(t, "snapshot-in-pieces", fresh)

	half := len(golden) / 2
	incoming := incomingSnapshot{chunks: [][]byte{golden[:half], golden[half:]}, checksum: sha256.Sum256(golden)}
	read, err := incoming.decode()
	require.NoError(t, err)
	require.Equal(t, snapshot, read)
	require.Equal(t, describeSnapshot(t, golden), describeSnapshot(t, fresh))
}

func describeSnapshot(t *testing.T, compressed []byte) []string {
	t.Helper()
	plain, err := operator.Decompress(compressed)
	require.NoError(t, err)
	return wiretest.Describe(t, plain)
}
