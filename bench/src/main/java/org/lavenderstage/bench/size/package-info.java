/** Bytes and times that docs/CAPACITY.md is worked out from. */
package org.lavenderstage.bench.size;
