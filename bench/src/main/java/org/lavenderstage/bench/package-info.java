/** Policy experiments over the core, and the load tool. */
package org.lavenderstage.bench;
