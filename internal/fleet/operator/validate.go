package operator

import (
	"linenwheel.dev/linenwheel/internal/fleet/operator/operatorpb"
)

// validate returns an error that says what makes the document invalid, nil where it is valid.
func (d *Document) validate() error {
	backends, err := d.validateNames()
	if err != nil {
		return err
	}
	places := make(map[string]string)
	for _, route := range messages[*operatorpb.Route](d, fieldRoutes) {
		if err := validateRoute(route, backends); err != nil {
			return err
		}
		place := route.Hostname + "\x00" + route.PathPrefix
		if other, taken := places[place]; taken {
			return invalid("routes %s and %s share host %s and prefix %s", other, route.Name, route.Hostname, route.PathPrefix)
		}
		places[place] = route.Name
	}
	return d.validateTenants()
}

// validateNames returns an error where a name is empty or duplicate in its list, else the names of the services.
func (d *Document) validateNames() (map[string]bool, error) {
	for list, items := range d.lists {
		names := make(map[string]bool, len(items))
		for i, one := range items {
			if one.name == "" {
				return nil, invalid("field %s[%d].Name is empty", list, i)
			}
			if names[one.name] {
				return nil, invalid("field %s: name %s stands twice", list, one.name)
			}
			names[one.name] = true
		}
	}
	backends := make(map[string]bool)
	for _, one := range d.lists[fieldBackends] {
		backends[one.name] = true
	}
	return backends, nil
}

func validateRoute(route *operatorpb.Route, backends map[string]bool) error {
	if !(route.TimeoutMs > 0) {
		return invalid("route %s: TimeoutMs is %v", route.Name, route.TimeoutMs)
	}
	if len(route.TrafficSplit) == 0 {
		if !backends[route.Backend] {
			return invalid("route %s: Backend %q is unknown", route.Name, route.Backend)
		}
		return nil
	}
	sum := 0.0
	for _, split := range route.TrafficSplit {
		if !backends[split.Backend] {
			return invalid("route %s: TrafficSplit names unknown backend %q", route.Name, split.Backend)
		}
		if split.Weight < 0 {
			return invalid("route %s: TrafficSplit has weight %v", route.Name, split.Weight)
		}
		sum += split.Weight
	}
	if !(sum > 0) {
		return invalid("route %s: the weights of TrafficSplit sum to %v", route.Name, sum)
	}
	return nil
}

func (d *Document) validateTenants() error {
	holders := make(map[string]string)
	for _, tenant := range messages[*operatorpb.Tenant](d, fieldTenants) {
		for _, key := range tenant.ApiKeys {
			if other, held := holders[key]; held && other != tenant.Name {
				return invalid("tenants %s and %s share a key", other, tenant.Name)
			}
			holders[key] = tenant.Name
		}
	}
	return nil
}
