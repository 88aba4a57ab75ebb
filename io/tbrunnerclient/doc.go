// Package tbrunnerclient sends requests to runners and checks their answers.
package tbrunnerclient
