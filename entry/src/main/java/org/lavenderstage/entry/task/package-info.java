/** Accepts jobs from callers, and manages the cells that this entry owns. */
package org.lavenderstage.entry.task;
