package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/golden"
)

// TestEncodedTypesKeepTheirForm guards against a change of the JSON form of the package's encoded types, in any
// field.
func TestEncodedTypesKeepTheirForm(t *testing.T) {
	golden.JSON[Document](t, "document")
	golden.JSON[Change](t, "change")
	golden.JSON[Outcome](t, "outcome")
	golden.JSON[Member](t, "member")
	golden.JSON[Report](t, "report")
	golden.JSON[Order](t, "order")
	golden.JSON[Progress](t, "news")
	golden.JSON[Proposal](t, "proposal")
	golden.JSON[View](t, "view")
	golden.JSON[image](t, "image")
	golden.Check(t, "hash", []byte(Hash("a document")))
}

// TestLoadsTheImageOfAnEarlierBuild guards against a machine that reads an image of an earlier build of this
// release differently from that build.
func TestLoadsTheImageOfAnEarlierBuild(t *testing.T) {
	var i image
	golden.Fill(t, &i)
	m := New()
	require.NoError(t, m.Load(golden.File(t, "image.json", nil)))
	require.Equal(t, i.Number, m.number)
	require.Equal(t, i.Docs, m.docs)
	require.Equal(t, i.Change, m.change)
	require.Equal(t, i.Outcomes, m.outcomes)
	require.Len(t, m.members, len(i.Members))
	for _, member := range i.Members {
		require.Equal(t, member, m.members[memberKey(member.Node, member.Incarnation)])
	}
	text, err := m.Freeze()()
	require.NoError(t, err)
	golden.Check(t, "image.json", text)
}
