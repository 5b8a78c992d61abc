package main

import (
	_ "embed"
	"strings"
)

// The configurations that the operator publishes.
var (
	//go:embed plain.json
	plainConfig string
	//go:embed download.json
	downloadConfig string
	// quotaConfig has the tenants as TENANTS.
	//
	//go:embed quota.json
	quotaConfig string
	// tenantConfig is a tenant with NAME, KEY and QUOTA.
	//
	//go:embed tenant.json
	tenantConfig string
)

// wireText holds the names of the users' platform, one a line after the name by which the
// stand-ins use it.
//
//go:embed wire.txt
var wireText string

// wire returns a name of the platform.
func wire(name string) string {
	for line := range strings.Lines(wireText) {
		if known, value, _ := strings.Cut(strings.TrimSpace(line), " "); known == name {
			return value
		}
	}
	panic(cannotRun{"wire.txt does not name " + name})
}

// withTenants returns quotaConfig with some tenants.
func withTenants(list []string) string {
	return strings.TrimSpace(strings.Replace(quotaConfig, "TENANTS", strings.Join(list, ","), 1))
}

// tenantOf returns a tenant with a quota in requests per second and the same burst.
func tenantOf(name, key, quota string) string {
	return strings.TrimSpace(strings.NewReplacer("NAME", name, "KEY", key, "QUOTA", quota).Replace(tenantConfig))
}
