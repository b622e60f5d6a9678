package operator

import (
	"fmt"
	"math"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"linenwheel.dev/linenwheel/internal/fleet/operator/operatorpb"
)

// maxNumber bounds every number of a configuration, whatever its unit. As milliseconds it is about 30 years.
const maxNumber = 1e12

// Admit is Apply for an order that has not been accepted by any replica yet. It also rejects what Apply accepts because replicas
// of earlier versions have accepted it: all replicas must go on to apply such an order.
func (s *State) Admit(order Order) (*State, error) {
	next, err := s.Apply(order)
	if err != nil {
		return nil, err
	}
	if err := next.Document.checkAdmission(); err != nil {
		return nil, err
	}
	return next, nil
}

// checkAdmission returns an error of kind InvalidConfig that names the first field which makes the document inadmissible.
func (d *Document) checkAdmission() error {
	for _, list := range []string{fieldRoutes, fieldBackends, fieldTenants} {
		for _, listed := range d.lists[list] {
			if err := checkNumbers(listed.message.ProtoReflect(), ""); err != nil {
				return invalid("field %s, item %s: %v", list, listed.name, err)
			}
		}
	}
	if err := checkNumbers(d.limits.ProtoReflect(), ""); err != nil {
		return invalid("field %s: %v", fieldLimits, err)
	}
	if err := d.checkBackendsBesideSplits(); err != nil {
		return err
	}
	return d.checkHostnames()
}

// checkBackendsBesideSplits rejects a route that names an unknown service in Backend although its TrafficSplit is what counts.
func (d *Document) checkBackendsBesideSplits() error {
	backends := make(map[string]bool)
	for _, listed := range d.lists[fieldBackends] {
		backends[listed.name] = true
	}
	for _, route := range messages[*operatorpb.Route](d, fieldRoutes) {
		if route.Backend != "" && !backends[route.Backend] {
			return invalid("route %s: Backend %q is unknown", route.Name, route.Backend)
		}
	}
	return nil
}

// checkHostnames rejects two routes that share a prefix on one host, whose names are looked up without regard to case.
func (d *Document) checkHostnames() error {
	routeNames := make(map[string]string) // by host in lower case and prefix
	for _, route := range messages[*operatorpb.Route](d, fieldRoutes) {
		match := strings.ToLower(route.Hostname) + "\x00" + route.PathPrefix
		if other, duplicate := routeNames[match]; duplicate {
			return invalid("routes %s and %s share Hostname %s, whose case does not count, and PathPrefix %s", other, route.Name, route.Hostname,
				route.PathPrefix)
		}
		routeNames[match] = route.Name
	}
	return nil
}

// checkNumbers returns an error that names the first number of a message which is not one from 0 to maxNumber. path is that of
// the message, for the error.
func checkNumbers(message protoreflect.Message, path string) error {
	var err error
	message.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		err = checkField(field, value, path+field.JSONName())
		return err == nil
	})
	return err
}

// checkField is checkNumbers for the value of one field.
func checkField(field protoreflect.FieldDescriptor, value protoreflect.Value, path string) error {
	if !field.IsList() {
		return checkValue(field, value, path)
	}
	for i := range value.List().Len() {
		if err := checkValue(field, value.List().Get(i), fmt.Sprintf("%s[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

// checkValue is checkNumbers for one value, which is not a list.
func checkValue(field protoreflect.FieldDescriptor, value protoreflect.Value, path string) error {
	number := 0.0
	switch field.Kind() {
	case protoreflect.MessageKind:
		return checkNumbers(value.Message(), path+".")
	case protoreflect.DoubleKind:
		number = value.Float()
	case protoreflect.Int32Kind, protoreflect.Int64Kind:
		number = float64(value.Int())
	}
	if !(number >= 0 && number <= maxNumber) { // NaN is neither
		return fmt.Errorf("%s is %v, expected a number from 0 to %g", path, number, float64(maxNumber))
	}
	return nil
}

// bounded returns the nearest number from 0 to maxNumber, 0 for NaN. Replicas of earlier versions have accepted others.
func bounded(number float64) float64 {
	if math.IsNaN(number) {
		return 0
	}
	return min(max(number, 0), maxNumber)
}
