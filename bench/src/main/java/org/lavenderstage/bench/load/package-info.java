/** Load generator for running entries. */
package org.lavenderstage.bench.load;
