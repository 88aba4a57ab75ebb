package tbdaemon

import (
	"fmt"
	"net"
	"strconv"
)

const (
	maxAddressBytes = 256
	maxPort         = 1<<16 - 1
)

// ValidateAddress returns an error if an address is not a host and a port that a connection can be made to.
func ValidateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" || len(address) > maxAddressBytes {
		return fmt.Errorf("address %.300q is not a host and a port", address)
	}
	if n, err := strconv.ParseUint(port, 10, 32); err != nil || n < 1 || n > maxPort {
		return fmt.Errorf("address %q has port %q, must be 1 to %d", address, port, maxPort)
	}
	return nil
}
