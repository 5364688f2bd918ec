// Package examples holds the estate texts of the first users at today's sizes.
package examples

import _ "embed"

// Seminars is the text of the seminar listings.
//
//go:embed seminars.json
var Seminars string

// Turkeys is the text of the poultry traders.
//
//go:embed turkeys.json
var Turkeys string
