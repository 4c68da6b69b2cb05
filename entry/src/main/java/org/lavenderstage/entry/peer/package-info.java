/** The links between the entries. */
package org.lavenderstage.entry.peer;
