/** Jobs, and the cells that this entry owns. */
package org.lavenderstage.entry.task;
