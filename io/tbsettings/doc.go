// Package tbsettings reads and checks the settings of a daemon, which are a TOML file.
package tbsettings
