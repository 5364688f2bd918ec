// Package examples embeds the example estate files. They model the first two deployments at their current size.
package examples

import _ "embed"

// Seminars is the estate file of the seminar listings.
//
//go:embed seminars.json
var Seminars string

// Turkeys is the estate file of the poultry traders.
//
//go:embed turkeys.json
var Turkeys string
