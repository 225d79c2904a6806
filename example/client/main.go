// Command client sends a gateway one query of each class, using an ordinary MySQL client library, and prints the rows.
package main

import (
	"database/sql"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"

	_ "github.com/go-sql-driver/mysql"
)

func main() {
	addr := "127.0.0.1:7001"
	if len(os.Args) > 1 {
		addr = os.Args[1]
	}
	if err := run(addr); err != nil {
		fmt.Fprintln(os.Stderr, "client:", err)
		os.Exit(1)
	}
}

func run(addr string) (err error) {
	db, err := sql.Open("mysql", "app@tcp("+addr+")/main")
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	for _, class := range []string{"point", "report", "load"} {
		comment := fmt.Sprintf("/* kind=%s,req=%016x,timeout=10000 */ ", class, rand.Uint64())
		if err := printRows(db, comment+"SELECT day, count(*), max(note) FROM sales_17.orders GROUP BY day"); err != nil {
			return fmt.Errorf("%s: %w", class, err)
		}
	}
	return nil
}

// printRows runs a query with three columns and prints its rows.
func printRows(db *sql.DB, query string) (err error) {
	rows, err := db.Query(query)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, rows.Close()) }()
	for rows.Next() {
		var day, count, note string
		if err := rows.Scan(&day, &count, &note); err != nil {
			return err
		}
		fmt.Printf("%s | %s | %s\n", day, count, note)
	}
	return rows.Err()
}
