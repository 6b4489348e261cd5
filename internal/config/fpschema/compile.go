package fpschema

import (
	"context"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/linker"
	"github.com/bufbuild/protocompile/reporter"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/foxtailpulley/foxtailpulley/api/schema/fpoption"
)

// fileName is the name of the schema file in error messages.
const fileName = "schema.proto"

// optionsPath is the path by which a schema file imports the options.
const optionsPath = "foxtailpulley/schema/v1/options.proto"

// Compile compiles the text of a schema file. The error is of kind InvalidConfiguration and lists all faults with their lines.
func Compile(text string) (*Schema, error) {
	fau := &faults{}
	fil := parse(text, fau)
	if fil == nil || fau.any() {
		return nil, fau.err()
	}
	sch := build(fil, fau)
	if fau.any() {
		return nil, fau.err()
	}
	return sch, nil
}

// parse runs the compiler and adds all its errors to fau. It returns nil if there are any.
func parse(text string, fau *faults) linker.File {
	com := protocompile.Compiler{
		Resolver:       resolver(text),
		MaxParallelism: 1,
		SourceInfoMode: protocompile.SourceInfoStandard,
		Reporter: reporter.NewReporter(func(err reporter.ErrorWithPos) error {
			fau.add(err.GetPosition().Line, "%v", err.Unwrap())
			return nil
		}, nil),
	}
	files, err := com.Compile(context.Background(), fileName)
	if err != nil && !fau.any() {
		fau.add(0, "%v", err)
	}
	if err != nil || len(files) != 1 {
		return nil
	}
	return files[0]
}

// resolver serves the schema text, the options and the well-known types from memory. An entry VM has no proto files on its disk.
func resolver(text string) protocompile.Resolver {
	sources := &protocompile.SourceResolver{
		Accessor: protocompile.SourceAccessorFromMap(map[string]string{
			fileName: text,
		}),
	}
	options := protocompile.ResolverFunc(func(path string) (protocompile.SearchResult, error) {
		if path != optionsPath {
			return protocompile.SearchResult{}, errNotFound
		}
		return protocompile.SearchResult{
			Desc: fpoption.File_foxtailpulley_schema_v1_options_proto,
		}, nil
	})
	return protocompile.WithStandardImports(protocompile.CompositeResolver{options, sources})
}

// lineOf returns the line of a descriptor, counted from 1, or 0 if it is not known.
func lineOf(des protoreflect.Descriptor) int {
	fil := des.ParentFile()
	if fil == nil {
		return 0
	}
	loc := fil.SourceLocations().ByDescriptor(des)
	if len(loc.Path) == 0 {
		return 0
	}
	return loc.StartLine + 1
}

// isReserved reports whether a service name is in a package of the router itself.
func isReserved(name protoreflect.FullName) bool {
	return strings.HasPrefix(string(name), "foxtailpulley.")
}
