// SPDX-License-Identifier: MIT

package request_test

import (
	"testing"

	"streambend.example/internal/fuzz"
)

func TestMain(m *testing.M) { fuzz.Main(m, 200) }
