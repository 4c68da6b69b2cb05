/** The HTTP interface for operators. */
package org.lavenderstage.entry.admin;
