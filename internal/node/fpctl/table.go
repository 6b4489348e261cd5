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

// table collects lines and tables. A head without rows is left out.
type table struct {
	buf   bytes.Buffer
	tab   *tabwriter.Writer
	title string
}

// line adds a line of text.
func (tbl *table) line(format string, args ...any) {
	tbl.end()
	fmt.Fprintf(&tbl.buf, format+"\n", args...)
}

// head begins a table.
func (tbl *table) head(columns ...string) {
	tbl.end()
	tbl.title = strings.Join(columns, "\t")
}

// row adds a row to the latest table.
func (tbl *table) row(cells ...any) {
	if tbl.tab == nil {
		if tbl.buf.Len() > 0 {
			tbl.buf.WriteByte('\n')
		}
		tbl.tab = tabwriter.NewWriter(&tbl.buf, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tbl.tab, tbl.title)
	}
	for at, cell := range cells {
		if at > 0 {
			fmt.Fprint(tbl.tab, "\t")
		}
		fmt.Fprint(tbl.tab, cell)
	}
	fmt.Fprintln(tbl.tab)
}

// end aligns the rows of the latest table. Writing to a bytes.Buffer returns no error.
func (tbl *table) end() {
	if tbl.tab != nil {
		_ = tbl.tab.Flush()
	}
	tbl.tab = nil
}

// print writes an answer as JSON or as fill formats it.
func (ses *session) print(msg proto.Message, fill func(out *table)) error {
	if ses.json {
		return ses.printMessage(msg)
	}
	tbl := &table{}
	fill(tbl)
	tbl.end()
	_, err := tbl.buf.WriteTo(ses.pro.Stdout)
	return err
}

// printMessage writes every field, set or not, so that scripts need no defaults. protojson varies its white space from
// build to build; compacting removes it.
func (ses *session) printMessage(msg proto.Message) error {
	data, err := protojson.MarshalOptions{
		EmitDefaultValues: true,
	}.Marshal(msg)
	if err != nil {
		return fperror.Wrap(fperror.Internal, err, "format answer")
	}
	var buf bytes.Buffer
	if err := json.Compact(&buf, data); err != nil {
		return fperror.Wrap(fperror.Internal, err, "format answer")
	}
	buf.WriteByte('\n')
	_, err = buf.WriteTo(ses.pro.Stdout)
	return err
}
