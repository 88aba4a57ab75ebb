package tbflowcodec

import (
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"tamarackbarrow/core/tbflow"
)

// Structs are encoded as arrays by the order of their fields. The decoder refuses an array of another length, so that a
// struct that has got a new field could not be read from a data folder of an earlier version. The stored structs that
// have got new fields are therefore decoded as far as the array goes.
func init() {
	for _, v := range []any{tbflow.Config{}, tbflow.Job{}, tbflow.WorkerRecord{}} {
		msgpack.Register(v, nil, decodeStoredFields)
	}
}

// decodeStoredFields decodes the exported fields of a struct in order, as far as the encoding contains them.
func decodeStoredFields(d *msgpack.Decoder, v reflect.Value) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for i := 0; i < v.NumField() && n > 0; i++ {
		if !v.Type().Field(i).IsExported() {
			continue
		}
		if err := d.DecodeValue(v.Field(i)); err != nil {
			return err
		}
		n--
	}
	if n > 0 {
		return fmt.Errorf("%s has %d unknown fields", v.Type(), n)
	}
	return nil
}
