// Package tbsettings reads the settings of one daemon from a TOML file.
package tbsettings
