// Package config reads and validates the settings of an entry instance.
//
// Each setting is a flag of the serve command and an environment variable: DRAGONFLYPOND_ followed by the flag name in
// capitals with underscores for hyphens. A flag takes precedence over the variable.
//
// # Usage
//
//	var settings config.Settings
//	settings.Register(flags)
//	if err := settings.Parse(flags, args); err != nil {
//		// err names the flag, the value and what is allowed.
//	}
package config
