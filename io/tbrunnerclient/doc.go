// Package tbrunnerclient sends requests to runners and verifies their answers.
package tbrunnerclient
