package controlplane

import (
	"reflect"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"linenwheel.dev/linenwheel/internal/fleet/distribution"
	"linenwheel.dev/linenwheel/internal/fleet/quota"
	"linenwheel.dev/linenwheel/internal/fleet/replica"
	"linenwheel.dev/linenwheel/internal/fleet/wiretest"
)

// methodNames are the internal calls under the names by which other processes call them.
var methodNames = []string{"Allowance.HandOver", "Allowance.Reflect", "Allowance.Take", "Distribution.Announce",
	"Distribution.Poll", "Distribution.Relay", "Operator.Read", "Operator.Submit", "Peer.Deliver", "Registry.Exchange"}

// servedMethods are the methods of the services, by their names.
func servedMethods() map[string]reflect.Type {
	served := map[string]reflect.Type{}
	for name, service := range (*Node)(nil).services() {
		kind := reflect.TypeOf(service)
		for i := range kind.NumMethod() {
			served[name+"."+kind.Method(i).Name] = kind.Method(i).Type
		}
	}
	return served
}

func TestTheInternalCallsKeepTheirNames(t *testing.T) {
	var served []string
	for name := range servedMethods() {
		served = append(served, name)
	}
	slices.Sort(served)
	require.Equal(t, methodNames, served)
	called := []string{quota.MethodTransfer, quota.MethodMirror, quota.MethodAcquire, distribution.MethodAnnounce,
		distribution.MethodPoll, distribution.MethodForward, methodRead, methodSubmit, MethodDeliver, methodGossip}
	require.Equal(t, methodNames, called)
}

// TestInternalCallsOfAnEarlierVersionAreUnderstood holds what each internal call takes and answers. The messages in a
// replica.Envelope are held in the package replica.
func TestInternalCallsOfAnEarlierVersionAreUnderstood(t *testing.T) {
	replica.RegisterMessages()
	for name, method := range servedMethods() {
		const request, reply, parameters = 1, 2, 3 // after the receiver
		require.Equal(t, parameters, method.NumIn(), name)
		for suffix, i := range map[string]int{"request": request, "reply": reply} {
			value := reflect.New(method.In(i).Elem()).Interface()
			if _, empty := value.(*struct{}); empty {
				continue
			}
			if envelope, is := value.(*replica.Envelope); is {
				envelope.Body = replica.Committed{Epoch: 1, Seq: 2}
			}
			wiretest.Fill(value)
			wiretest.Gob(t, name+"."+suffix+".gob", value)
		}
	}
}

func TestTheStatusKeepsItsKeys(t *testing.T) {
	var body statusBody
	wiretest.Fill(&body)
	wiretest.JSON(t, "status.json", body)
}

func TestTheErrorBodyKeepsItsKey(t *testing.T) {
	wiretest.JSON(t, "error.json", errorBody{Error: "text"})
}
