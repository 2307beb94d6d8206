// Package deploy holds the template from which the users' platform renders the settings of a router.
package deploy

import _ "embed"

// SettingsTemplate is the template; the rules of its placeholders are in package fakes/deploy.
//
//go:embed wigeond.json.tmpl
var SettingsTemplate string
