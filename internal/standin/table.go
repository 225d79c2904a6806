package standin

import (
	"fmt"
	"strconv"
	"strings"
)

// TableRowBytes is the size of a row of ServeTable, with its line feed.
const TableRowBytes = 100

// tablePageBytes is the size up to which ServeTable fills a page.
const tablePageBytes = 6000

// ServeTable is a handler for NewEngine. It serves statements that read a table whose name ends in an underscore and the
// number of its rows; others fail.
func ServeTable(request Request) Reply {
	count, err := strconv.Atoi(request.Statement[strings.LastIndexByte(request.Statement, '_')+1:])
	if err != nil {
		return Reply{Status: "crashed"}
	}
	reply := Reply{Status: "served"}
	var page strings.Builder
	for n := range count {
		page.WriteString(TableRow(n) + "\n")
		if page.Len()+TableRowBytes > tablePageBytes || n == count-1 {
			reply.Pages = append(reply.Pages, page.String())
			page.Reset()
		}
	}
	return reply
}

// TableRow returns row n of each table of ServeTable, with a tab between its columns.
func TableRow(n int) string {
	const others = len("\tnote\t") + len("\n")
	return fmt.Sprintf("%d\tnote\t%0*d", n, TableRowBytes-others-len(strconv.Itoa(n)), n)
}
