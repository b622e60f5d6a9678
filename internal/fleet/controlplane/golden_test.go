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

// methodNames are the wire names of the internal calls.
var methodNames = []string{"Allowance.HandOver", "Allowance.Reflect", "Allowance.Take", "Distribution.Announce",
	"Distribution.Poll", "Distribution.Relay", "Operator.Read", "Operator.Submit", "Peer.Deliver", "Registry.Exchange"}

// servedMethods returns the types of the services' methods, by wire name.
func servedMethods() map[string]reflect.Type {
	served := map[string]reflect.Type{}
	for name, service := range (*Node)(nil).services() {
		serviceType := reflect.TypeOf(service)
		for i := range serviceType.NumMethod() {
			served[name+"."+serviceType.Method(i).Name] = serviceType.Method(i).Type
		}
	}
	return served
}

func TestInternalCallNamesAreStable(t *testing.T) {
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

// TestInternalCallsDecodeEarlierVersion checks the encoding of the request and reply of each internal call.
// Package replica checks the messages within a replica.Envelope.
func TestInternalCallsDecodeEarlierVersion(t *testing.T) {
	replica.RegisterMessages()
	for name, method := range servedMethods() {
		const request, reply, parameters = 1, 2, 3 // after the receiver
		require.Equal(t, parameters, method.NumIn(), name)
		for suffix, i := range map[string]int{"request": request, "reply": reply} {
			value := reflect.New(method.In(i).Elem()).Interface()
			if _, empty := value.(*struct{}); empty {
				continue
			}
			if envelope, ok := value.(*replica.Envelope); ok {
				envelope.Body = replica.Committed{Epoch: 1, Seq: 2}
			}
			wiretest.Fill(value)
			wiretest.Gob(t, name+"."+suffix+".gob", value)
		}
	}
}

func TestStatusKeysAreStable(t *testing.T) {
	var body statusBody
	wiretest.Fill(&body)
	wiretest.JSON(t, "status.json", body)
}

func TestErrorBodyKeyIsStable(t *testing.T) {
	wiretest.JSON(t, "error.json", errorBody{Error: "text"})
}
