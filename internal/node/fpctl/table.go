package fpctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/foxtailpulley/foxtailpulley/internal/base/fperror"
)

// table formats lines of text and tables. A table without rows is omitted, including its header.
type table struct {
	buf           bytes.Buffer
	tab           *tabwriter.Writer
	pendingHeader string
}

// line ends the current table and adds a line of text.
func (tbl *table) line(format string, args ...any) {
	tbl.flush()
	fmt.Fprintf(&tbl.buf, format+"\n", args...)
}

// header ends the current table and sets the column headers of the next one.
func (tbl *table) header(columns ...string) {
	tbl.flush()
	tbl.pendingHeader = strings.Join(columns, "\t")
}

// row adds a row to the current table.
func (tbl *table) row(cells ...any) {
	if tbl.tab == nil {
		if tbl.buf.Len() > 0 {
			tbl.buf.WriteByte('\n')
		}
		tbl.tab = tabwriter.NewWriter(&tbl.buf, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tbl.tab, tbl.pendingHeader)
	}
	for at, cell := range cells {
		if at > 0 {
			fmt.Fprint(tbl.tab, "\t")
		}
		fmt.Fprint(tbl.tab, cell)
	}
	fmt.Fprintln(tbl.tab)
}

// flush ends the current table and aligns its columns. Writing to a bytes.Buffer returns no error.
func (tbl *table) flush() {
	if tbl.tab != nil {
		_ = tbl.tab.Flush()
	}
	tbl.tab = nil
}

// print writes a response to standard output, as JSON if --json is set and otherwise as formatted by fill.
func (ses *session) print(msg proto.Message, fill func(out *table)) error {
	if ses.json {
		return ses.printMessage(msg)
	}
	tbl := &table{}
	fill(tbl)
	tbl.flush()
	_, err := tbl.buf.WriteTo(ses.pro.Stdout)
	return err
}

// printMessage writes a message as JSON, including unset fields, so that scripts need no defaults. The white space of
// protojson differs between builds, so it is removed.
func (ses *session) printMessage(msg proto.Message) error {
	data, err := protojson.MarshalOptions{
		EmitDefaultValues: true,
	}.Marshal(msg)
	if err != nil {
		return fperror.Wrap(fperror.Internal, err, "encode the response as JSON")
	}
	var buf bytes.Buffer
	if err := json.Compact(&buf, data); err != nil {
		return fperror.Wrap(fperror.Internal, err, "encode the response as JSON")
	}
	buf.WriteByte('\n')
	_, err = buf.WriteTo(ses.pro.Stdout)
	return err
}
