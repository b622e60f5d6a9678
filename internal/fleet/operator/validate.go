package operator

import (
	"linenwheel.dev/linenwheel/internal/fleet/operator/operatorpb"
)

// validate returns nil if the document is valid, and otherwise an error of kind InvalidConfig that describes the
// first violation found.
func (d *Document) validate() error {
	backends, err := d.validateNames()
	if err != nil {
		return err
	}
	routeNames := make(map[string]string) // by host and prefix
	for _, route := range messages[*operatorpb.Route](d, fieldRoutes) {
		if err := validateRoute(route, backends); err != nil {
			return err
		}
		match := route.Hostname + "\x00" + route.PathPrefix
		if other, duplicate := routeNames[match]; duplicate {
			return invalid("routes %s and %s share host %s and prefix %s", other, route.Name, route.Hostname, route.PathPrefix)
		}
		routeNames[match] = route.Name
	}
	return d.validateTenants()
}

// validateNames returns the names of the services, or an error if a name is empty or occurs twice in its list.
func (d *Document) validateNames() (map[string]bool, error) {
	for list, items := range d.lists {
		names := make(map[string]bool, len(items))
		for i, listed := range items {
			if listed.name == "" {
				return nil, invalid("field %s[%d].Name is empty", list, i)
			}
			if names[listed.name] {
				return nil, invalid("field %s: name %s stands twice", list, listed.name)
			}
			names[listed.name] = true
		}
	}
	backends := make(map[string]bool)
	for _, listed := range d.lists[fieldBackends] {
		backends[listed.name] = true
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
	for i, split := range route.TrafficSplit {
		if !backends[split.Backend] {
			return invalid("route %s: TrafficSplit names unknown backend %q", route.Name, split.Backend)
		}
		if split.Weight < 0 {
			return invalid("route %s: TrafficSplit[%d].Weight is %v", route.Name, i, split.Weight)
		}
		sum += split.Weight
	}
	if !(sum > 0) {
		return invalid("route %s: the Weights of TrafficSplit sum to %v", route.Name, sum)
	}
	return nil
}

func (d *Document) validateTenants() error {
	tenantNames := make(map[string]string) // by API key
	for _, tenant := range messages[*operatorpb.Tenant](d, fieldTenants) {
		for _, key := range tenant.ApiKeys {
			if other, used := tenantNames[key]; used && other != tenant.Name {
				return invalid("tenants %s and %s share a key", other, tenant.Name)
			}
			tenantNames[key] = tenant.Name
		}
	}
	return nil
}
